package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"siskingw/errdefs"
	"siskingw/object"
)

// paths is a list of paths. As a flag it may be repeated.
type paths []string

// String implements flag.Value.
func (p *paths) String() string { return strings.Join(*p, ",") }

// Set implements flag.Value.
func (p *paths) Set(s string) error {
	*p = append(*p, s)
	return nil
}

// readObjects decodes the objects of the given files and of the .json files below
// the given directories. If files have faults, it returns an Invalid error with the
// faults of all files, together with the objects that could be decoded.
func readObjects(paths []string) ([]*object.Object, error) {
	if len(paths) == 0 {
		return nil, usageError("no file is given; use -f")
	}
	var objects []*object.Object
	var faults []object.Fault
	for _, path := range paths {
		files, err := listFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			b, err := os.ReadFile(file)
			if err != nil {
				return nil, errdefs.Invalid.Wrap(err, "file cannot be read")
			}
			decoded, err := object.DecodeFile(file, b)
			objects, faults = append(objects, decoded...), append(faults, object.FaultsOf(err)...)
		}
	}
	if err := object.NewInvalid(faults); err != nil {
		return objects, err
	}
	if len(objects) == 0 {
		return nil, errdefs.Invalid.New("%s: no object is declared", strings.Join(paths, ", "))
	}
	return objects, nil
}

// listFiles returns path itself if it is a file, and the .json files below it if
// it is a directory.
func listFiles(path string) ([]string, error) {
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
