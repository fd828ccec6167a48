// Command standin is part of carobpulley.
package main

func main() {}
