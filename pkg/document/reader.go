package document

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// Problem is an error in a document or settings file.
type Problem struct {
	// Line counts from 1; 0 stands for the whole file.
	Line    int
	Message string
}

// Problems lists all problems of a file, ordered by line.
type Problems []Problem

// Error implements error. The text has a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = fmt.Sprintf("line %d: %s", problem.Line, problem.Message)
	}
	return strings.Join(lines, "\n")
}

// Reader reads a TOML file table by table. It collects all problems instead of
// stopping at the first one.
type Reader struct {
	root *Table
	// lines maps the path of each key to its line.
	lines    map[string]int
	problems Problems
}

// Table is a table of a file that is being read.
type Table struct {
	reader *Reader
	// path is the path of the table, such as "kind[2]"; empty for the root.
	path   string
	values map[string]any
	// readKeys holds the keys that were read; all others are reported as unknown.
	readKeys map[string]bool
}

// NewReader parses the text. A syntax error is returned at once, as the only
// problem.
func NewReader(text []byte) (reader *Reader, err error) {
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		return nil, syntaxProblem(err)
	}
	reader = &Reader{lines: keyLines(text)}
	reader.root = &Table{reader: reader, values: values, readKeys: map[string]bool{}}
	return reader, nil
}

// syntaxProblem converts a decoding error to a problem with its line.
func syntaxProblem(err error) Problems {
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		return Problems{{Line: line, Message: decodeError.Error()}}
	}
	return Problems{{Message: err.Error()}}
}

// keyLines maps the path of each key, such as "kind[2].deadline", to its line.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	prefix := ""
	line, scanned := 1, 0
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		key, offset := expressionKey(expression)
		if offset > scanned {
			line += bytes.Count(text[scanned:offset], []byte("\n"))
			scanned = offset
		}
		switch expression.Kind {
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, counts[key])
			counts[key]++
			lines[prefix] = line
		case unstable.Table:
			prefix = key
			lines[prefix] = line
		case unstable.KeyValue:
			lines[joinPath(prefix, key)] = line
		}
	}
	return lines
}

// expressionKey returns the dotted key of an expression and its offset in the
// text.
func expressionKey(expression *unstable.Node) (key string, offset int) {
	var parts []string
	iterator := expression.Key()
	for iterator.Next() {
		node := iterator.Node()
		if len(parts) == 0 {
			offset = int(node.Raw.Offset)
		}
		parts = append(parts, string(node.Data))
	}
	return strings.Join(parts, "."), offset
}

// joinPath appends a key to the path of its table, which is empty for the root.
func joinPath(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// Root returns the table of the keys outside any table.
func (r *Reader) Root() *Table {
	return r.root
}

// Finish reports the unknown keys of the root table and returns all problems as
// a Problems, or nil.
func (r *Reader) Finish() error {
	r.root.addUnknownKeys()
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return a.Line - b.Line })
	return r.problems
}

// Problemf adds a problem with the line of a key of the table. An empty key
// stands for the table itself.
func (t *Table) Problemf(key, format string, arguments ...any) {
	line := t.reader.lines[t.path]
	if key != "" {
		if keyLine, found := t.reader.lines[joinPath(t.path, key)]; found {
			line = keyLine
		}
	}
	t.reader.problems = append(t.reader.problems, Problem{Line: line, Message: fmt.Sprintf(format, arguments...)})
}

// Has reports whether the key is set.
func (t *Table) Has(key string) bool {
	t.readKeys[key] = true
	_, found := t.values[key]
	return found
}

// Tables returns the tables of an optional array of tables.
func (t *Table) Tables(key string) []*Table {
	if !t.Has(key) {
		return nil
	}
	list, ok := t.values[key].([]any)
	if !ok {
		t.Problemf(key, "%s must be an array of tables: [[%s]]", key, key)
		return nil
	}
	var tables []*Table
	for i, element := range list {
		values, ok := element.(map[string]any)
		if !ok {
			t.Problemf(key, "%s must be an array of tables: [[%s]]", key, key)
			return nil
		}
		path := fmt.Sprintf("%s[%d]", joinPath(t.path, key), i)
		tables = append(tables, &Table{reader: t.reader, path: path, values: values, readKeys: map[string]bool{}})
	}
	return tables
}

// Table returns an optional nested table; nil if there is none.
func (t *Table) Table(key string) *Table {
	if !t.Has(key) {
		return nil
	}
	values, ok := t.values[key].(map[string]any)
	if !ok {
		t.Problemf(key, "%s must be a table: [%s]", key, key)
		return nil
	}
	return &Table{reader: t.reader, path: joinPath(t.path, key), values: values, readKeys: map[string]bool{}}
}

// ReportUnknownKeys adds a problem for each key that was not read. Call it
// after reading all keys of the table.
func (t *Table) ReportUnknownKeys() {
	t.addUnknownKeys()
}

func (t *Table) addUnknownKeys() {
	for key := range t.values {
		if !t.readKeys[key] {
			t.Problemf(key, "unknown key %q", key)
		}
	}
}

// typedValue returns the value of a key if it has the type T. want describes
// the type in the problem otherwise. A missing key is a problem if it is
// required.
func typedValue[T any](t *Table, key, want string, required bool) (result T, ok bool) {
	if !t.Has(key) {
		if required {
			t.Problemf("", "%s is missing", key)
		}
		return result, false
	}
	result, ok = t.values[key].(T)
	if !ok {
		t.Problemf(key, "%s must be %s", key, want)
	}
	return result, ok
}

// Text returns a required string that isn't empty.
func (t *Table) Text(key string) string {
	text, ok := typedValue[string](t, key, "a string", true)
	if ok && text == "" {
		t.Problemf(key, "%s is empty", key)
	}
	return text
}

// TextOr returns an optional string, or fallback.
func (t *Table) TextOr(key, fallback string) string {
	if text, ok := typedValue[string](t, key, "a string", false); ok {
		return text
	}
	return fallback
}

// BoolOr returns an optional boolean, or fallback.
func (t *Table) BoolOr(key string, fallback bool) bool {
	if flag, ok := typedValue[bool](t, key, "true or false", false); ok {
		return flag
	}
	return fallback
}

// Count returns a required whole number of at least 1.
func (t *Table) Count(key string) int {
	number, ok := typedValue[int64](t, key, "a whole number", true)
	if ok && number < 1 {
		t.Problemf(key, "%s must be at least 1", key)
	}
	return int(number)
}

// CountOr returns an optional whole number of at least 0, or fallback.
func (t *Table) CountOr(key string, fallback int) int {
	number, ok := typedValue[int64](t, key, "a whole number", false)
	if !ok {
		return fallback
	}
	if number < 0 {
		t.Problemf(key, "%s must not be negative", key)
	}
	return int(number)
}

// NumberOr returns an optional number above 0, or fallback.
func (t *Table) NumberOr(key string, fallback float64) float64 {
	if !t.Has(key) {
		return fallback
	}
	number, ok := t.values[key].(float64)
	if whole, isWhole := t.values[key].(int64); isWhole {
		number, ok = float64(whole), true
	}
	if !ok || !(number > 0) || math.IsInf(number, 0) {
		t.Problemf(key, "%s must be a number above 0", key)
		return fallback
	}
	return number
}

// Duration returns a required duration above 0, written with its unit, such as
// "250ms".
func (t *Table) Duration(key string) time.Duration {
	if !t.Has(key) {
		t.Problemf("", "%s is missing", key)
		return 0
	}
	return t.DurationOr(key, 0)
}

// DurationOr returns an optional duration above 0, or fallback.
func (t *Table) DurationOr(key string, fallback time.Duration) time.Duration {
	if !t.Has(key) {
		return fallback
	}
	text, ok := t.values[key].(string)
	if !ok {
		t.Problemf(key, "%s needs a unit, such as \"250ms\" or \"2s\"", key)
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Problemf(key, "%s: %q is not a duration with a unit, such as \"250ms\" or \"2s\"", key, text)
		return fallback
	}
	if duration <= 0 {
		t.Problemf(key, "%s must be above 0", key)
	}
	return duration
}

// PercentOr returns an optional percentage, such as "5%", as a fraction from 0
// to 1, or fallback.
func (t *Table) PercentOr(key string, fallback float64) float64 {
	fraction := t.FactorOr(key, fallback)
	if fraction > 1 {
		t.Problemf(key, "%s must be from 0%% to 100%%", key)
		return fallback
	}
	return fraction
}

// FactorOr returns an optional percentage, which may exceed 100%, as a factor,
// or fallback.
func (t *Table) FactorOr(key string, fallback float64) float64 {
	if !t.Has(key) {
		return fallback
	}
	text, ok := t.values[key].(string)
	if !ok || !strings.HasSuffix(text, "%") {
		t.Problemf(key, "%s needs a unit, such as \"5%%\"", key)
		return fallback
	}
	number, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
	if err != nil {
		t.Problemf(key, "%s: %q is not a percentage", key, text)
		return fallback
	}
	if !(number >= 0) || math.IsInf(number, 0) {
		t.Problemf(key, "%s must not be negative", key)
		return fallback
	}
	return number / 100
}

// Texts returns a required list of strings with at least one element.
func (t *Table) Texts(key string) []string {
	list, ok := typedValue[[]any](t, key, "a list of strings", true)
	if !ok {
		return nil
	}
	texts := t.stringList(key, list)
	if len(list) == 0 {
		t.Problemf(key, "%s is empty", key)
	}
	return texts
}

// TextsOr returns an optional list of strings, or nil.
func (t *Table) TextsOr(key string) []string {
	list, ok := typedValue[[]any](t, key, "a list of strings", false)
	if !ok {
		return nil
	}
	return t.stringList(key, list)
}

// stringList converts the elements of a list to strings. It returns nil and
// adds a problem if an element is not a string.
func (t *Table) stringList(key string, list []any) []string {
	texts := make([]string, 0, len(list))
	for _, element := range list {
		text, ok := element.(string)
		if !ok {
			t.Problemf(key, "%s must be a list of strings", key)
			return nil
		}
		texts = append(texts, text)
	}
	return texts
}
