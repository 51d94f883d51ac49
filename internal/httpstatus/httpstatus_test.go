package httpstatus_test

import (
	"fmt"

	"toucanfall/internal/httpstatus"
)

func ExampleClassOf() {
	for _, code := range []int{0, 99, 100, 101, 103, 199, 200, 404, 599, 600, 999} {
		fmt.Println(code, [...]string{"invalid", "informational", "final"}[httpstatus.ClassOf(code)])
	}
	// Output:
	// 0 invalid
	// 99 invalid
	// 100 informational
	// 101 invalid
	// 103 informational
	// 199 informational
	// 200 final
	// 404 final
	// 599 final
	// 600 invalid
	// 999 invalid
}
