package layout

import (
	"fmt"
	"go/token"
	"slices"
	"strings"
)

// codeSpan is a text in backquotes on a page.
type codeSpan struct {
	line int
	text string
	// file is the Go file in parentheses directly after the text, or "" if there is none. In
	// `Type.Method` (`package/file.go`) it is package/file.go.
	file string
}

// codeSpans returns the texts in backquotes on a page, except those in fenced code blocks. A text that
// begins with a dot, like `.Member`, is prefixed with the last text before it in the same line that does
// not begin with a dot.
func codeSpans(document string) []codeSpan {
	var spans []codeSpan
	isInFencedBlock := false
	for i, line := range strings.Split(document, "\n") {
		isFence := strings.HasPrefix(line, "```")
		isInFencedBlock = isInFencedBlock != isFence
		if isInFencedBlock || isFence {
			continue
		}
		owner := ""
		parts := strings.Split(line, "`")
		for j := 1; j+1 < len(parts); j += 2 {
			span := codeSpan{line: i + 1, text: parts[j]}
			if strings.HasPrefix(span.text, ".") {
				span.text = owner + span.text
			} else {
				owner = span.text
			}
			if parts[j+1] == " (" && strings.HasSuffix(parts[j+2], ".go") {
				span.file = parts[j+2]
			}
			spans = append(spans, span)
		}
	}
	return spans
}

// repositoryPath returns the path, from the root of the repository, of a file that a page names. Pages
// name files by their path below internal/, or by a path that begins with cmd/.
func repositoryPath(name string) string {
	if strings.HasPrefix(name, "cmd/") {
		return name
	}
	return "internal/" + name
}

// isGoName reports whether the text is checked as a Go name. It has to consist of identifiers or keywords
// joined by dots. It also has to contain a dot or a capital letter, unless the page names the file that
// declares it.
func (span codeSpan) isGoName() bool {
	for part := range strings.SplitSeq(span.text, ".") {
		if !token.IsIdentifier(part) && !token.IsKeyword(part) {
			return false
		}
	}
	return strings.Contains(span.text, ".") || span.file != "" || strings.ToLower(span.text) != span.text
}

// CheckPage returns the problems of a page's texts in backquotes: Go files, packages and Go names that
// the code doesn't have, and Go names that the file named after them doesn't declare. Names of settings
// are not checked, nor are the keys of exceptions: texts that look like Go names but are none. The
// values of exceptions say what the texts are instead.
func CheckPage(page, document string, declarations *Declarations, exceptions map[string]string) []string {
	var problems []string
	for _, span := range codeSpans(document) {
		report := func(problem string) {
			problems = append(problems, fmt.Sprintf("%s:%d: `%s` %s", page, span.line, span.text, problem))
		}
		_, isException := exceptions[span.text]
		switch {
		case isException:
		case strings.HasSuffix(span.text, ".go"):
			if !declarations.HasFile(repositoryPath(span.text)) {
				report("is no file: name it by its path below internal/, or from cmd/ on")
			}
		case strings.HasPrefix(span.text, "internal/"):
			if !declarations.HasPackage(span.text) {
				report("is no package")
			}
		case !span.isGoName() || declarations.IsSetting(span.text):
		default:
			files := declarations.FilesDeclaring(span.text)
			if len(files) == 0 {
				report("is not declared")
			} else if span.file != "" && !slices.Contains(files, repositoryPath(span.file)) {
				report(fmt.Sprintf("is in %s, not in %s", strings.Join(files, ", "), span.file))
			}
		}
	}
	return problems
}

// logTableHeader is the beginning of the header row of the table of log lines.
const logTableHeader = "| level | line | keys |"

// CheckLogTable checks a page's table of log lines. It returns the messages that are not a string
// literal in any of the files that their row names, and the rows that don't have six cells. In a row
// without a message it checks the values in the keys column instead, such as a reason that is logged
// with the message of an earlier row. checked is the number of messages and values that it checked.
func CheckLogTable(page, document string, declarations *Declarations) (checked int, problems []string) {
	isInTable := false
	for i, line := range strings.Split(document, "\n") {
		isInTable = strings.HasPrefix(line, logTableHeader) || isInTable && strings.HasPrefix(line, "|")
		cells := strings.Split(line, "|")
		if !isInTable || strings.HasPrefix(line, logTableHeader) || strings.HasPrefix(line, "| ---") {
			continue
		}
		if len(cells) != 8 {
			problems = append(problems, fmt.Sprintf("%s:%d: the row has %d cells, not 6", page, i+1, len(cells)-2))
			continue
		}
		messages, writers := codeSpans(cells[2]), codeSpans(cells[5])
		if len(messages) == 0 {
			messages = codeSpans(cells[3])
		}
		for _, message := range messages {
			checked++
			files := declarations.FilesWithLiteral(message.text)
			isWriter := func(writer codeSpan) bool { return slices.Contains(files, repositoryPath(writer.text)) }
			if !slices.ContainsFunc(writers, isWriter) {
				problems = append(problems, fmt.Sprintf("%s:%d: %q is not written by%s; it is in %q", page, i+1, message.text, cells[5], files))
			}
		}
	}
	return checked, problems
}
