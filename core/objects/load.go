package objects

import (
	"cmp"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// maxFileBytes is the size limit of one object file. It is larger than
// MaxSetBytes because a source file may contain much white space.
const maxFileBytes = 8 << 20

// partialRemedy ends the remedy for a file that could not be read. References
// to missing objects are not reported in that case: the objects may be in that
// file, and the findings would hide the real faults.
const partialRemedy = "missing objects are reported once every file can be read"

// Source is a set read from object files.
type Source struct {
	// Set has passed the check, but has no generation and no digest yet.
	Set *Set
	// Files are the paths of the files read, sorted.
	Files []string
}

// Load reads the object files among paths, and all files named *.json below the
// directories among them, and checks their objects as one set. Hidden files and
// directories below a directory are skipped. The source is nil if there are
// findings. Findings are sorted by file and line.
func Load(paths []string) (*Source, []Finding) {
	d := newDecoder()
	files := d.collectFiles(paths)
	for _, file := range files {
		d.loadFile(file)
	}
	findings := d.findings.list
	switch {
	case len(findings) == 0 && d.draft.empty():
		findings = []Finding{{
			Code: CodeNoObjects, File: strings.Join(paths, " "),
			Message: "there are no objects", Remedy: "name object files or a directory with *.json files",
		}}
	default:
		findings = append(findings, checkDraft(d.draft, 0)...)
	}
	if len(findings) > 0 {
		sortFindings(findings)
		return nil, findings
	}
	set := &d.draft.set
	set.sortAndIndex()
	return &Source{Set: set, Files: files}, nil
}

// empty reports whether no object has been decoded.
func (d *draft) empty() bool { return len(d.origins) == 0 }

// collectFiles returns the paths of the files to read, sorted and without
// duplicates.
func (d *decoder) collectFiles(paths []string) []string {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			d.reportUnreadable(path, err)
			continue
		}
		if !info.IsDir() {
			files = append(files, filepath.Clean(path))
			continue
		}
		err = filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			hidden := strings.HasPrefix(entry.Name(), ".") && file != path
			switch {
			case entry.IsDir() && hidden:
				return fs.SkipDir
			case !entry.IsDir() && !hidden && filepath.Ext(file) == ".json":
				files = append(files, filepath.Clean(file))
			}
			return nil
		})
		if err != nil {
			d.reportUnreadable(path, err)
		}
	}
	slices.Sort(files)
	return slices.Compact(files)
}

// reportUnreadable reports a path that could not be read and marks the draft as
// partial.
func (d *decoder) reportUnreadable(path string, err error) {
	d.file = path
	d.draft.partial = true
	d.report(0, CodeUnreadable, "", "", err.Error(), "correct the path or its permissions; "+partialRemedy)
}

// loadFile decodes a file, which holds one object or an array of objects, and
// adds its objects to the draft.
func (d *decoder) loadFile(path string) {
	d.file = path
	raw, err := readFile(path)
	if err != nil {
		d.reportUnreadable(path, err)
		return
	}
	tree, err := readTree(raw)
	if err != nil {
		d.draft.partial = true
		d.report(tree.line, CodeSyntax, "", "", "the file is not valid JSON: "+err.Error(),
			"correct the JSON text; "+partialRemedy)
		return
	}
	if items, ok := tree.value.([]jsonNode); ok {
		d.decodeObjects(items)
		return
	}
	d.decodeObject(tree)
}

// readFile returns the contents of a file, or an error if it is larger than
// maxFileBytes.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(raw) > maxFileBytes {
		err = fmt.Errorf("%s is larger than %d bytes", path, maxFileBytes)
	}
	return raw, err
}

// sortFindings sorts by file, line, object and field. Findings about the same
// field keep their order.
func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			strings.Compare(a.Object, b.Object), strings.Compare(a.Field, b.Field),
		)
	})
}
