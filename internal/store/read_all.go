package store

import "context"

// ReadAll returns all rows of a partition and the version of the first page. A feed that
// resumes from this version covers all changes that the later pages may lack.
func ReadAll(ctx context.Context, s Store, table, partition string) ([]Row, uint64, error) {
	page, err := s.Read(ctx, table, partition, "")
	if err != nil {
		return nil, 0, err
	}
	rows, version := page.Rows, page.Version
	for page.More && len(page.Rows) > 0 {
		next := page.Rows[len(page.Rows)-1].Key + "\x00"
		if page, err = s.Read(ctx, table, partition, next); err != nil {
			return nil, 0, err
		}
		rows = append(rows, page.Rows...)
	}
	return rows, version, nil
}
