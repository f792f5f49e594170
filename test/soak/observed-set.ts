/** A set that tells of every change. */
export class ObservedSet<T> extends Set<T> {
  /** Called after the value came (`present`) or went. */
  onChange: (value: T, present: boolean) => void = () => {};

  override add(value: T): this {
    const isNew = !this.has(value);
    super.add(value);
    if (isNew) this.onChange(value, true);
    return this;
  }

  override delete(value: T): boolean {
    const was = super.delete(value);
    if (was) this.onChange(value, false);
    return was;
  }

  override clear(): void {
    for (const value of [...this]) this.delete(value);
  }
}
