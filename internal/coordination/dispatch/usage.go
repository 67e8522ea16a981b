package dispatch

import (
	"math"
	"slices"
	"strings"
)

// imageShares maps images to shares, of a worker's CPU or of the demand. It is sorted by image, so that sums over it
// are added up in the same order each time and equal inputs lead to equal decisions.
type imageShares []imageShare

type imageShare struct {
	image string
	share float64
}

func (s imageShares) find(image string) (int, bool) {
	return slices.BinarySearchFunc(s, image, func(e imageShare, image string) int {
		return strings.Compare(e.image, image)
	})
}

// shareOf returns the share of an image; 0 if it has none.
func (s imageShares) shareOf(image string) float64 {
	if at, known := s.find(image); known {
		return s[at].share
	}
	return 0
}

// add adds to the share of an image.
func (s *imageShares) add(image string, share float64) {
	at, known := s.find(image)
	if !known {
		*s = slices.Insert(*s, at, imageShare{image: image})
	}
	(*s)[at].share += share
}

// changeTo returns the change of each image's share. Changes of at most minShareChange are left out.
func (s imageShares) changeTo(after imageShares) imageShares {
	var change imageShares
	for _, e := range after {
		change.add(e.image, e.share)
	}
	for _, e := range s {
		change.add(e.image, -e.share)
	}
	return slices.DeleteFunc(change, func(e imageShare) bool { return math.Abs(e.share) <= minShareChange })
}
