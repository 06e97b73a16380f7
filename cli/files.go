package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"siskingw/errdefs"
	"siskingw/object"
)

// paths is a flag that may be given several times.
type paths []string

// String implements flag.Value.
func (p *paths) String() string { return strings.Join(*p, ",") }

// Set implements flag.Value.
func (p *paths) Set(s string) error {
	*p = append(*p, s)
	return nil
}

// readObjects decodes every file and every .json file below a directory. With an
// Invalid error, which holds the faults of all files, it returns what could be
// read.
func readObjects(list []string) ([]*object.Object, error) {
	if len(list) == 0 {
		return nil, usageError("no file is given; use -f")
	}
	var objects []*object.Object
	var bad []object.Fault
	for _, path := range list {
		files, err := expand(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			b, err := os.ReadFile(file)
			if err != nil {
				return nil, errdefs.Invalid.Wrap(err, "file cannot be read")
			}
			decoded, err := object.DecodeFile(file, b)
			objects, bad = append(objects, decoded...), append(bad, object.FaultsOf(err)...)
		}
	}
	if err := object.NewInvalid(bad); err != nil {
		return objects, err
	}
	if len(objects) == 0 {
		return nil, errdefs.Invalid.New("%s: no object is declared", strings.Join(list, ", "))
	}
	return objects, nil
}

// expand returns the file itself or the .json files below a directory.
func expand(path string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && (file == path || filepath.Ext(file) == ".json") {
			files = append(files, file)
		}
		return err
	})
	if err != nil {
		return nil, errdefs.Invalid.Wrap(err, "%s cannot be read", path)
	}
	return files, nil
}
