// Command testbed-demo runs the demonstration with separate processes.
package main

func main() {}
