package purity

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// forbiddenImports are the packages, including their subpackages, that do I/O or have global state.
var forbiddenImports = []string{
	"crypto/rand", "io/fs", "io/ioutil", "k8s.io/klog", "log", "math/rand", "net", "os", "sync", "syscall", "unsafe",
	"github.com/rcrowley/go-metrics",
}

// allowedImports are exceptions to forbiddenImports: packages whose functions are pure, but for forbiddenCalls.
var allowedImports = []string{"math/rand/v2", "net/netip", "net/url"}

// forbiddenCalls are, by import path, the impure functions of packages that are allowed otherwise.
var forbiddenCalls = map[string][]string{
	"time": {
		"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick",
	},
	"math/rand/v2": {
		"Int", "IntN", "Int32", "Int32N", "Int64", "Int64N", "Uint32", "Uint32N", "Uint64", "Uint64N", "UintN", "Uint",
		"Float32", "Float64", "ExpFloat64", "NormFloat64", "Perm", "Shuffle", "N",
	},
	"github.com/google/uuid": {
		"New", "NewString", "NewRandom", "NewUUID", "NewV6", "NewV7", "SetRand", "EnableRandPool",
	},
}

// Finding is one impure import, call or statement.
type Finding struct {
	position token.Position
	message  string
}

// String returns "file:line: message".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.position.Filename, f.position.Line, f.message)
}

// Check returns the findings in all Go files below root, except tests, sorted by their texts. modulePath is the import
// path of the module; of its packages, only those within purePath may be imported.
func Check(root, modulePath, purePath string) ([]Finding, error) {
	var findings []Finding
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return trace.Wrap(err)
		}
		if entry.IsDir() && entry.Name() == "testdata" && path != root {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		found, err := checkFile(path, modulePath, purePath)
		findings = append(findings, found...)
		return trace.Wrap(err)
	})
	sort.Slice(findings, func(i, j int) bool { return findings[i].String() < findings[j].String() })
	return findings, trace.Wrap(err)
}

func checkFile(path, modulePath, purePath string) ([]Finding, error) {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var findings []Finding
	importPathByName := map[string]string{}
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		importPathByName[localName(spec, imported)] = imported
		if message := checkImport(imported, modulePath, purePath); message != "" {
			findings = append(findings, Finding{fileSet.Position(spec.Pos()), message})
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if message := checkNode(node, importPathByName); message != "" {
			findings = append(findings, Finding{fileSet.Position(node.Pos()), message})
		}
		return true
	})
	return findings, nil
}

func localName(spec *ast.ImportSpec, imported string) string {
	if spec.Name != nil {
		return spec.Name.Name
	}
	if imported == "math/rand/v2" {
		return "rand"
	}
	return imported[strings.LastIndex(imported, "/")+1:]
}

func checkImport(imported, modulePath, purePath string) string {
	if isWithin(modulePath, imported) && !isWithin(purePath, imported) {
		return "imports " + imported + ", which is outside " + purePath
	}
	for _, allowed := range allowedImports {
		if imported == allowed {
			return ""
		}
	}
	for _, forbidden := range forbiddenImports {
		if isWithin(forbidden, imported) {
			return "imports " + imported
		}
	}
	return ""
}

func isWithin(prefix, path string) bool {
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

func checkNode(node ast.Node, importPathByName map[string]string) string {
	if _, isGo := node.(*ast.GoStmt); isGo {
		return "starts a goroutine"
	}
	selector, isSelector := node.(*ast.SelectorExpr)
	if !isSelector {
		return ""
	}
	ident, isIdent := selector.X.(*ast.Ident)
	if !isIdent {
		return ""
	}
	for _, call := range forbiddenCalls[importPathByName[ident.Name]] {
		if selector.Sel.Name == call {
			return "uses " + importPathByName[ident.Name] + "." + call
		}
	}
	return ""
}
