package crlang

import (
	"fmt"
	"sort"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// allowedPunctuation holds the characters that commands may contain besides ASCII letters and digits.
const allowedPunctuation = " -./:[]"

// checkCharacters returns an error for the first character that is not allowed in a command. Columns count characters from
// 1; all characters before the reported one are ASCII, so the column follows from the byte offset.
func checkCharacters(line string) error {
	for i, r := range line {
		column := i + 1
		switch {
		case r < utf8.RuneSelf && (r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(allowedPunctuation, r)):
			continue
		case r == utf8.RuneError && !strings.HasPrefix(line[i:], "\uFFFD"):
			return crcode.New(crcode.BadCharacter, "column %d: byte 0x%02X is not UTF-8; type the command again with plain ASCII", column, line[i])
		}
		return crcode.New(crcode.BadCharacter, "column %d: character U+%04X (%s) is not allowed; %s", column, r, describeCharacter(r), advice(r))
	}
	return nil
}

// characterNames maps characters that are not allowed to their Unicode names: ASCII characters, and others that keyboards,
// editors and chat programs insert in place of ASCII ones.
var characterNames = map[rune]string{
	'!': "EXCLAMATION MARK", '"': "QUOTATION MARK", '#': "NUMBER SIGN", '$': "DOLLAR SIGN", '%': "PERCENT SIGN",
	'&': "AMPERSAND", '\'': "APOSTROPHE", '(': "LEFT PARENTHESIS", ')': "RIGHT PARENTHESIS", '*': "ASTERISK",
	'+': "PLUS SIGN", ',': "COMMA", ';': "SEMICOLON", '<': "LESS-THAN SIGN", '=': "EQUALS SIGN",
	'>': "GREATER-THAN SIGN", '?': "QUESTION MARK", '@': "COMMERCIAL AT", '\\': "REVERSE SOLIDUS",
	'^': "CIRCUMFLEX ACCENT", '_': "LOW LINE", '`': "GRAVE ACCENT", '{': "LEFT CURLY BRACKET",
	'|': "VERTICAL LINE", '}': "RIGHT CURLY BRACKET", '~': "TILDE",
	'\t': "CHARACTER TABULATION", '\n': "LINE FEED", '\r': "CARRIAGE RETURN",
	0x00A0: "NO-BREAK SPACE", 0x00AB: "LEFT-POINTING DOUBLE ANGLE QUOTATION MARK",
	0x00BB: "RIGHT-POINTING DOUBLE ANGLE QUOTATION MARK", 0x00AD: "SOFT HYPHEN", 0x066B: "ARABIC DECIMAL SEPARATOR",
	0x200B: "ZERO WIDTH SPACE", 0x200E: "LEFT-TO-RIGHT MARK", 0x200F: "RIGHT-TO-LEFT MARK",
	0x2010: "HYPHEN", 0x2011: "NON-BREAKING HYPHEN", 0x2012: "FIGURE DASH", 0x2013: "EN DASH", 0x2014: "EM DASH",
	0x2018: "LEFT SINGLE QUOTATION MARK", 0x2019: "RIGHT SINGLE QUOTATION MARK",
	0x201C: "LEFT DOUBLE QUOTATION MARK", 0x201D: "RIGHT DOUBLE QUOTATION MARK", 0x201E: "DOUBLE LOW-9 QUOTATION MARK",
	0x202E: "RIGHT-TO-LEFT OVERRIDE", 0x202F: "NARROW NO-BREAK SPACE", 0x2212: "MINUS SIGN",
	0x3000: "IDEOGRAPHIC SPACE", 0xFEFF: "ZERO WIDTH NO-BREAK SPACE", 0xFF0C: "FULLWIDTH COMMA",
	0xFFFD: "REPLACEMENT CHARACTER",
}

// latinLookalikes maps letters of other scripts to the Latin letters that they resemble.
var latinLookalikes = func() map[rune]rune {
	m := make(map[rune]rune)
	add := func(letters, latin string) {
		l := []rune(latin)
		for i, r := range []rune(letters) {
			m[r] = l[i]
		}
	}
	add("\u0430\u0435\u043e\u0440\u0441\u0443\u0445\u0456\u0458\u0455\u04bb\u0501\u051b\u051d\u0475", "aeopcyxijshdqwv")
	add("\u0410\u0412\u0415\u041a\u041c\u041d\u041e\u0420\u0421\u0422\u0423\u0425\u0406", "ABEKMHOPCTYXI")
	add("\u03bf\u03b1\u03bd\u03c1\u03b9", "oavpi")
	add("\u0391\u0392\u0395\u0396\u0397\u0399\u039a\u039c\u039d\u039f\u03a1\u03a4\u03a5\u03a7", "ABEZHIKMNOPTYX")
	return m
}()

// describeCharacter returns the Unicode name of the character if it is in characterNames, else its category and script.
func describeCharacter(r rune) string {
	if name, ok := characterNames[r]; ok {
		return name
	}
	category := "character"
	switch {
	case unicode.IsControl(r):
		return "control character"
	case unicode.IsDigit(r):
		category = fmt.Sprintf("digit %d", digitValue(r))
	case unicode.IsLetter(r):
		category = "letter"
	case unicode.IsMark(r):
		category = "mark"
	case unicode.IsSpace(r):
		category = "space"
	}
	text := category + ", script " + scriptOf(r)
	if latin, ok := latinLookalikes[r]; ok {
		text += fmt.Sprintf(", looks like Latin %q", latin)
	}
	return text
}

// digitValue returns the value of a decimal digit of any script. Each range of unicode.Nd consists of runs of the ten digits
// from 0 to 9.
func digitValue(r rune) int {
	for _, t := range unicode.Nd.R16 {
		if rune(t.Lo) <= r && r <= rune(t.Hi) {
			return int(r-rune(t.Lo)) % 10
		}
	}
	for _, t := range unicode.Nd.R32 {
		if rune(t.Lo) <= r && r <= rune(t.Hi) {
			return int(r-rune(t.Lo)) % 10
		}
	}
	return 0
}

// scriptNames lists the Unicode scripts in a fixed order, so that error messages are the same in each run.
var scriptNames = func() []string {
	names := make([]string, 0, len(unicode.Scripts))
	for name := range unicode.Scripts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}()

// scriptOf returns the name of the Unicode script of the character.
func scriptOf(r rune) string {
	for _, name := range scriptNames {
		if unicode.Is(unicode.Scripts[name], r) {
			return name
		}
	}
	return "unknown"
}

// advice returns how to replace a character that is not allowed.
func advice(r rune) string {
	switch {
	case r == ',' || r == 0x066B || r == 0xFF0C:
		return "write whole numbers with a smaller unit, for example 1500ms"
	case r == '+':
		return "write numbers without a sign and times in UTC with Z at the end"
	case unicode.IsDigit(r):
		return "write the digits 0 to 9"
	case r == '\n' || r == '\r':
		return "write one command on one line"
	case unicode.IsSpace(r) || r == 0x200B || r == 0xFEFF:
		return "write a plain space"
	case unicode.Is(unicode.Pd, r) || r == 0x00AD || r == 0x2212:
		return "write the plain hyphen -"
	case unicode.IsControl(r):
		return "remove it"
	case unicode.IsLetter(r):
		return "write the letters a to z with a Latin keyboard"
	}
	return "remove it; a command has only letters, digits, spaces and - . / : [ ]"
}
