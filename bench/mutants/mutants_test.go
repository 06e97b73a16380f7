package mutants

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a list that no longer fits the code, so that make mutants
// would test nothing.
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
