// Command galenadyked is the daemon that runs on entry instances.
package main

func main() {}
