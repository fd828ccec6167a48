// Command bench is part of carobpulley.
package main

func main() {}
