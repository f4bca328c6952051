package entries

import "reflect"

// Counts is the number of entries of maps and slices, by the path of the fields that lead to them. Entries of maps and elements of slices
// are counted together at one path.
type Counts map[string]int

// Count counts the entries of all maps and slices that a value holds, also behind pointers and interfaces. Each pointer is followed once.
func Count(value any) Counts {
	c := counter{Counts{}, map[uintptr]bool{}}
	c.visit("", reflect.ValueOf(value))
	return c.counts
}

// Above returns the paths with more than limit entries.
func (c Counts) Above(limit int) Counts {
	above := Counts{}
	for path, count := range c {
		if count > limit {
			above[path] = count
		}
	}
	return above
}

// counter counts the entries of one value.
type counter struct {
	counts  Counts
	visited map[uintptr]bool // pointers and maps
}

func (c counter) visit(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && c.isNew(v) {
			c.visit(path, v.Elem())
		}
	case reflect.Interface:
		if !v.IsNil() {
			c.visit(path, v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			c.visit(path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Map:
		if v.Len() == 0 || !c.isNew(v) {
			return
		}
		c.counts[path] += v.Len()
		for entry := v.MapRange(); entry.Next(); {
			c.visit(path+"[key]", entry.Key())
			c.visit(path+"[]", entry.Value())
		}
	case reflect.Slice:
		c.counts[path] += v.Len()
		if isPlain(v.Type().Elem()) {
			return
		}
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			c.visit(path+"[]", v.Index(i))
		}
	default: // holds no entries
	}
}

// isNew reports whether a pointer or a map was not visited before.
func (c counter) isNew(v reflect.Value) bool {
	isNew := !c.visited[v.Pointer()]
	c.visited[v.Pointer()] = true
	return isNew
}

// isPlain reports whether values of a type hold no entries.
func isPlain(t reflect.Type) bool { return t.Kind() < reflect.Array || t.Kind() == reflect.String }
