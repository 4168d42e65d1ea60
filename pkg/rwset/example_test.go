package rwset_test

import (
	"fmt"

	"ragwortwall/pkg/rwset"
)

func ExampleSet() {
	zones := rwset.New("b", "a")
	zones.Add("c")
	zones.Remove("b")
	fmt.Println(rwset.Sorted(zones), zones.Has("b"))
	// Output: [a c] false
}

func ExampleOption() {
	limit := rwset.None[int]()
	fmt.Println(limit.Or(8), rwset.Some(3).Or(8))
	// Output: 8 3
}
