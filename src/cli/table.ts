/** Formats plain-text tables for terminals. */

const COLUMN_GAP = '  ';

/** Formats a table as one line per row; each column is padded to its widest cell. */
export function renderTable(header: readonly string[], rows: readonly (readonly string[])[]): string[] {
  const allRows = [header, ...rows];
  const widths = header.map((_, column) => Math.max(...allRows.map((row) => row[column]?.length ?? 0)));
  return allRows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}
