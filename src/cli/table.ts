/** Plain-text tables for terminals. */

const COLUMN_GAP = '  ';

/** Formats one line per row; columns are padded to their widest cell. */
export function renderTable(header: readonly string[], rows: readonly (readonly string[])[]): string[] {
  const all = [header, ...rows];
  const widths = header.map((_, column) => Math.max(...all.map((row) => row[column]?.length ?? 0)));
  return all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}
