package language

// table is one table that Show lists.
type table struct {
	name, purpose string
	columns       []column
	// ofTypes are the subject types that "of" accepts; each is also the column that contains the
	// subject's name.
	ofTypes []string
	// rows returns the table's rows; each row has a cell for each column.
	rows func(View) [][]Value
}

// column is one column of a table.
type column struct {
	name, purpose string
	// numeric columns contain numbers, in the first of units if there are any.
	numeric bool
	units   []unit
}

// columnIndex returns the index of a column, or -1.
func (t *table) columnIndex(word string) int {
	for i, column := range t.columns {
		if column.name == word {
			return i
		}
	}
	return -1
}

func (t *table) columnNames() []string {
	words := make([]string, len(t.columns))
	for i, column := range t.columns {
		words[i] = column.name
	}
	return words
}

func tableByName(word string) *table {
	for _, table := range tables {
		if table.name == word {
			return table
		}
	}
	return nil
}

func tableNames() []string {
	words := make([]string, len(tables))
	for i, table := range tables {
		words[i] = table.name
	}
	return words
}
