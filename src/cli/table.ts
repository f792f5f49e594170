/** Plain tables for terminals. */

const GAP = '  ';

/** One line a row, columns padded to their widest cell. */
export function renderTable(header: readonly string[], rows: readonly (readonly string[])[]): string[] {
  const all = [header, ...rows];
  const widths = header.map((_, column) => Math.max(...all.map((row) => row[column]?.length ?? 0)));
  return all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(GAP)
      .trimEnd(),
  );
}
