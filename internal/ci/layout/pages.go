package layout

import (
	"fmt"
	"go/token"
	"slices"
	"strings"
)

// quotation is a text in backquotes on a page.
type quotation struct {
	line int
	text string
	// file is what follows in parentheses, if it is a Go file: `Type.Method` (`package/file.go`).
	file string
}

// quotations lists what a page has in backquotes, fenced blocks apart. `.Member` is of what
// stands before it in the line.
func quotations(document string) []quotation {
	var found []quotation
	isFenced := false
	for i, line := range strings.Split(document, "\n") {
		isFence := strings.HasPrefix(line, "```")
		isFenced = isFenced != isFence
		if isFenced || isFence {
			continue
		}
		owner := ""
		parts := strings.Split(line, "`")
		for j := 1; j+1 < len(parts); j += 2 {
			quoted := quotation{line: i + 1, text: parts[j]}
			if strings.HasPrefix(quoted.text, ".") {
				quoted.text = owner + quoted.text
			} else {
				owner = quoted.text
			}
			if parts[j+1] == " (" && strings.HasSuffix(parts[j+2], ".go") {
				quoted.file = parts[j+2]
			}
			found = append(found, quoted)
		}
	}
	return found
}

// pageFile is the file that a page means: files are below internal/, or below cmd/.
func pageFile(name string) string {
	if strings.HasPrefix(name, "cmd/") {
		return name
	}
	return "internal/" + name
}

// isGoName tells whether a quoted text is to be held to the code: identifiers joined by dots, or
// one that has a capital letter or is said to be in a file.
func (quoted quotation) isGoName() bool {
	for part := range strings.SplitSeq(quoted.text, ".") {
		if !token.IsIdentifier(part) && !token.IsKeyword(part) {
			return false
		}
	}
	return strings.Contains(quoted.text, ".") || quoted.file != "" || strings.ToLower(quoted.text) != quoted.text
}

// CheckPage lists what a page has in backquotes and the code doesn't have: Go files, packages, Go
// names, and names that are not in the file that follows them. Exceptions are texts that only look
// like Go names, with the reason.
func CheckPage(page, document string, declarations *Declarations, exceptions map[string]string) []string {
	var problems []string
	for _, quoted := range quotations(document) {
		report := func(problem string) {
			problems = append(problems, fmt.Sprintf("%s:%d: `%s` %s", page, quoted.line, quoted.text, problem))
		}
		_, isException := exceptions[quoted.text]
		switch {
		case isException:
		case strings.HasSuffix(quoted.text, ".go"):
			if !declarations.HasFile(pageFile(quoted.text)) {
				report("is no file: name it by its path below internal/, or from cmd/ on")
			}
		case strings.HasPrefix(quoted.text, "internal/"):
			if !declarations.HasPackage(quoted.text) {
				report("is no package")
			}
		case !quoted.isGoName() || declarations.IsSetting(quoted.text):
		default:
			files := declarations.FilesOf(quoted.text)
			if len(files) == 0 {
				report("is not declared")
			} else if quoted.file != "" && !slices.Contains(files, pageFile(quoted.file)) {
				report(fmt.Sprintf("is in %s, not in %s", strings.Join(files, ", "), quoted.file))
			}
		}
	}
	return problems
}

// logTableHead begins the header of the table of log lines.
const logTableHead = "| level | line | keys |"

// CheckLogTable lists the messages of a page's table of log lines that are no string literal of a
// file that the row names. Rows without a message have a value of a key instead, as the reason of
// the message above. It also tells how many messages and values it has looked at.
func CheckLogTable(page, document string, declarations *Declarations) (checked int, problems []string) {
	isInTable := false
	for i, line := range strings.Split(document, "\n") {
		isInTable = strings.HasPrefix(line, logTableHead) || isInTable && strings.HasPrefix(line, "|")
		cells := strings.Split(line, "|")
		if !isInTable || strings.HasPrefix(line, logTableHead) || strings.HasPrefix(line, "| ---") {
			continue
		}
		if len(cells) != 8 {
			problems = append(problems, fmt.Sprintf("%s:%d: the row has %d cells, not 6", page, i+1, len(cells)-2))
			continue
		}
		messages, writers := quotations(cells[2]), quotations(cells[5])
		if len(messages) == 0 {
			messages = quotations(cells[3])
		}
		for _, message := range messages {
			checked++
			files := declarations.FilesWithLiteral(message.text)
			isWriter := func(writer quotation) bool { return slices.Contains(files, pageFile(writer.text)) }
			if !slices.ContainsFunc(writers, isWriter) {
				problems = append(problems, fmt.Sprintf("%s:%d: %q is not written by%s; it is in %q", page, i+1, message.text, cells[5], files))
			}
		}
	}
	return checked, problems
}
