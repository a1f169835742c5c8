// Command galenadyke is the command of operators and developers.
package main

func main() {}
