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

// Problem is one fault of a document or settings file.
type Problem struct {
	// Line counts from 1; 0 stands for the whole file.
	Line    int
	Message string
}

// Problems is the list of all faults of one file, ordered by line.
type Problems []Problem

// Error implements error, one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = fmt.Sprintf("line %d: %s", problem.Line, problem.Message)
	}
	return strings.Join(lines, "\n")
}

// Reader reads a TOML file table by table and collects every problem instead
// of stopping at the first.
type Reader struct {
	root     *Table
	lines    map[string]int
	problems Problems
}

// Table is one table of a file that is being read.
type Table struct {
	reader *Reader
	path   string
	values map[string]any
	known  map[string]bool
}

// NewReader parses the text. A syntax error is the only problem that ends
// reading at once.
func NewReader(text []byte) (reader *Reader, err error) {
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		return nil, syntaxProblem(err)
	}
	reader = &Reader{lines: locate(text)}
	reader.root = &Table{reader: reader, values: values, known: map[string]bool{}}
	return reader, nil
}

func syntaxProblem(err error) Problems {
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		row, _ := decodeError.Position()
		return Problems{{Line: row, Message: decodeError.Error()}}
	}
	return Problems{{Message: err.Error()}}
}

// locate maps the path of each key to its line, such as "kind[2].deadline".
func locate(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	prefix := ""
	line, counted := 1, 0
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		key, offset := keyOf(expression)
		if offset > counted {
			line += bytes.Count(text[counted:offset], []byte("\n"))
			counted = offset
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
			lines[join(prefix, key)] = line
		}
	}
	return lines
}

func keyOf(expression *unstable.Node) (key string, offset int) {
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

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// Root returns the table of the keys outside any table.
func (r *Reader) Root() *Table {
	return r.root
}

// Finish reports unknown keys of the table and returns all problems, or nil.
func (r *Reader) Finish() error {
	r.root.unknown()
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return a.Line - b.Line })
	return r.problems
}

// Problemf adds a problem at a key of the table; an empty key stands for the
// table itself.
func (t *Table) Problemf(key, format string, arguments ...any) {
	line := t.reader.lines[t.path]
	if key != "" {
		if at, found := t.reader.lines[join(t.path, key)]; found {
			line = at
		}
	}
	t.reader.problems = append(t.reader.problems, Problem{Line: line, Message: fmt.Sprintf(format, arguments...)})
}

// Has reports whether the key is set.
func (t *Table) Has(key string) bool {
	t.known[key] = true
	_, found := t.values[key]
	return found
}

// Tables returns the tables of an array of tables.
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
		path := fmt.Sprintf("%s[%d]", join(t.path, key), i)
		tables = append(tables, &Table{reader: t.reader, path: path, values: values, known: map[string]bool{}})
	}
	return tables
}

// Table returns a table within the table; nil if there is none.
func (t *Table) Table(key string) *Table {
	if !t.Has(key) {
		return nil
	}
	values, ok := t.values[key].(map[string]any)
	if !ok {
		t.Problemf(key, "%s must be a table: [%s]", key, key)
		return nil
	}
	return &Table{reader: t.reader, path: join(t.path, key), values: values, known: map[string]bool{}}
}

// Done reports the keys of the table that nothing has asked for.
func (t *Table) ReportUnknownKeys() {
	t.unknown()
}

func (t *Table) unknown() {
	for key := range t.values {
		if !t.known[key] {
			t.Problemf(key, "unknown key %q", key)
		}
	}
}

// value returns a key's value if it has the type T. A missing key is a problem
// when required.
func value[T any](t *Table, key, want string, required bool) (result T, ok bool) {
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
	text, ok := value[string](t, key, "a string", true)
	if ok && text == "" {
		t.Problemf(key, "%s is empty", key)
	}
	return text
}

// TextOr returns an optional string.
func (t *Table) TextOr(key, fallback string) string {
	if text, ok := value[string](t, key, "a string", false); ok {
		return text
	}
	return fallback
}

// BoolOr returns an optional boolean.
func (t *Table) BoolOr(key string, fallback bool) bool {
	if flag, ok := value[bool](t, key, "true or false", false); ok {
		return flag
	}
	return fallback
}

// Count returns a required whole number of at least 1.
func (t *Table) Count(key string) int {
	number, ok := value[int64](t, key, "a whole number", true)
	if ok && number < 1 {
		t.Problemf(key, "%s must be at least 1", key)
	}
	return int(number)
}

// CountOr returns an optional whole number of at least 0.
func (t *Table) CountOr(key string, fallback int) int {
	number, ok := value[int64](t, key, "a whole number", false)
	if !ok {
		return fallback
	}
	if number < 0 {
		t.Problemf(key, "%s must not be negative", key)
	}
	return int(number)
}

// NumberOr returns an optional number above 0.
func (t *Table) NumberOr(key string, fallback float64) float64 {
	if !t.Has(key) {
		return fallback
	}
	number, ok := t.values[key].(float64)
	if whole, isWhole := t.values[key].(int64); isWhole {
		number, ok = float64(whole), true
	}
	if !ok || !(number > 0) {
		t.Problemf(key, "%s must be a number above 0", key)
		return fallback
	}
	return number
}

// Duration returns a required duration with its unit, such as "250ms".
func (t *Table) Duration(key string) time.Duration {
	if !t.Has(key) {
		t.Problemf("", "%s is missing", key)
		return 0
	}
	return t.DurationOr(key, 0)
}

// DurationOr returns an optional duration above 0.
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

// PercentOr returns an optional percentage such as "5%" as a fraction from 0
// to 1.
func (t *Table) PercentOr(key string, fallback float64) float64 {
	fraction := t.FactorOr(key, fallback)
	if fraction > 1 {
		t.Problemf(key, "%s must be from 0%% to 100%%", key)
		return fallback
	}
	return fraction
}

// FactorOr returns an optional percentage that may exceed 100%, as a factor.
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
	list, ok := value[[]any](t, key, "a list of strings", true)
	if !ok {
		return nil
	}
	texts := t.strings(key, list)
	if len(list) == 0 {
		t.Problemf(key, "%s is empty", key)
	}
	return texts
}

// TextsOr returns an optional list of strings.
func (t *Table) TextsOr(key string) []string {
	list, ok := value[[]any](t, key, "a list of strings", false)
	if !ok {
		return nil
	}
	return t.strings(key, list)
}

func (t *Table) strings(key string, list []any) []string {
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
