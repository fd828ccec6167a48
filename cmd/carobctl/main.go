// Command carobctl is part of carobpulley.
package main

func main() {}
