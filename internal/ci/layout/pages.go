package layout

import (
	"fmt"
	"go/token"
	"slices"
	"strings"
)

// quotation is a text in backquotes on a page.
type codeSpan struct {
	line int
	text string
	// file is what follows in parentheses, if it is a Go file: `Type.Method` (`package/file.go`).
	file string
}

// quotations lists what a page has in backquotes, fenced blocks apart. `.Member` is of what
// stands before it in the line.
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

// repositoryPath is the file that a page means: files are below internal/, or below cmd/.
func repositoryPath(name string) string {
	if strings.HasPrefix(name, "cmd/") {
		return name
	}
	return "internal/" + name
}

// isGoName tells whether a quoted text is to be held to the code: identifiers joined by dots, or
// one that has a capital letter or is said to be in a file.
func (span codeSpan) isGoName() bool {
	for part := range strings.SplitSeq(span.text, ".") {
		if !token.IsIdentifier(part) && !token.IsKeyword(part) {
			return false
		}
	}
	return strings.Contains(span.text, ".") || span.file != "" || strings.ToLower(span.text) != span.text
}

// CheckPage lists what a page has in backquotes and the code doesn't have: Go files, packages, Go
// names, and names that are not in the file that follows them. Exceptions are texts that only look
// like Go names, with the reason.
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

// logTableHeader begins the header of the table of log lines.
const logTableHeader = "| level | line | keys |"

// CheckLogTable lists the messages of a page's table of log lines that are no string literal of a
// file that the row names. Rows without a message have a value of a key instead, as the reason of
// the message above. It also tells how many messages and values it has looked at.
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
