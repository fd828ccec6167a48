// Command agentd is part of carobpulley.
package main

func main() {}
