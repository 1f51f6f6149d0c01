package advicebudget

const (
	// initialShare is the share of workers assumed to be allowed before a queue's first answer. Too
	// low a value costs a few more workers in a call; too high a value costs a second call.
	initialShare = 0.3
	// shareWeight is the weight of an answer about one worker, so that about the last 100 count.
	shareWeight = 0.01
	// minShare keeps calls possible for a queue of which the adviser has denied much.
	minShare = 0.05
)

// Shares holds the share of workers that the adviser allows, by queue.
type Shares struct{ learned map[string]float64 }

// NewShares returns shares of which nothing is known.
func NewShares() *Shares { return &Shares{learned: map[string]float64{}} }

// Answered records how many of the workers without a verdict that a call named were allowed.
func (s *Shares) Answered(queue string, asked, allowed int) {
	if asked == 0 {
		return
	}
	old := s.Of(queue)
	weight := min(1, shareWeight*float64(asked))
	s.learned[queue] = old + weight*(float64(allowed)/float64(asked)-old)
}

// Of returns the expected share of workers that the adviser allows for a stage of a queue.
func (s *Shares) Of(queue string) float64 {
	if share, known := s.learned[queue]; known {
		return max(minShare, share)
	}
	return initialShare
}
