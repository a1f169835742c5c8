// Command testbed-bench runs the measurements with separate processes.
package main

func main() {}
