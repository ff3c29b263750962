package language

// table is what a Show lists.
type table struct {
	word, purpose string
	columns       []column
	// ofTypes are the subjects "of" may narrow to; each is also the column that
	// holds the subject's name.
	ofTypes []string
	// rows reads the table; each row has a cell for each column.
	rows func(View) [][]Value
}

// column is one column of a table.
type column struct {
	word, purpose string
	// numeric columns hold numbers, in the first of units where there are some.
	numeric bool
	units   []unit
}

// column returns the index of a column, or -1.
func (t *table) column(word string) int {
	for i, column := range t.columns {
		if column.word == word {
			return i
		}
	}
	return -1
}

func (t *table) columnWords() []string {
	words := make([]string, len(t.columns))
	for i, column := range t.columns {
		words[i] = column.word
	}
	return words
}

func tableByWord(word string) *table {
	for _, table := range tables {
		if table.word == word {
			return table
		}
	}
	return nil
}

func tableWords() []string {
	words := make([]string, len(tables))
	for i, table := range tables {
		words[i] = table.word
	}
	return words
}
