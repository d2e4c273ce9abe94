// Command pistachioford is the entry daemon.
package main

func main() {}
