package mutants

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against mutants whose old text no longer occurs in the code: make mutants
// could not apply them.
func TestEveryMutantApplies(t *testing.T) {
	is := is.New(t)
	const root = "../.."
	list, err := Load(root + "/" + listPath)
	is.NoErr(err)
	is.True(len(list) > 0)
	for _, m := range list {
		content, err := m.Apply(root)
		is.NoErr(err)
		is.True(content != "")
	}
}
