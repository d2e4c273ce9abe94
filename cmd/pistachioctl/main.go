// Command pistachioctl is the operators' command.
package main

func main() {}
