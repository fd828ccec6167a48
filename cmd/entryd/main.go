// Command entryd is part of carobpulley.
package main

func main() {}
