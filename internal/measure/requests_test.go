package measure

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/load"
)

func TestStagesAddUp(t *testing.T) {
	stages := []Stage{{"backend server", 100, 200}, {"gate", 160, 500}, {"entry proxy", 250, 450}}
	must.Eq(t, []Stage{{"backend server", 100, 200}, {"gate", 60, 300}, {"entry proxy", 90, -50}}, added(stages))
	must.Eq(t, 100, stages[0].P50)
	must.Eq(t, 160, stages[1].P50)
}

// Useful answers are a part of the capacity; an open outcome is what was
// neither answered nor refused for certain.
func TestOutcomeColumns(t *testing.T) {
	c := load.Cell{Sent: 200, Labels: map[load.Label]int{
		load.LabelAnswered: 100, load.LabelNotRun: 60, load.LabelUnknown: 30, load.LabelCut: 10,
	}, Micros: load.Quantiles{P50: 2000, P99: 9000}}
	must.Eq(t, []string{"25", "50", "20", "2", "9"}, outcomeColumns(c, 2, 200))
	must.Eq(t, []string{"0", "0", "0", "0", "0"}, outcomeColumns(load.Cell{}, 2, 200))
}
