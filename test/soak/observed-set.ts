/** A set that notifies a callback of every added and deleted value. */
export class ObservedSet<T> extends Set<T> {
  /** Called after a value was added (`isPresent` is true) or deleted (`isPresent` is false). */
  onChange: (value: T, isPresent: boolean) => void = () => {};

  override add(value: T): this {
    const isNew = !this.has(value);
    super.add(value);
    if (isNew) this.onChange(value, true);
    return this;
  }

  override delete(value: T): boolean {
    const wasPresent = super.delete(value);
    if (wasPresent) this.onChange(value, false);
    return wasPresent;
  }

  override clear(): void {
    for (const value of [...this]) this.delete(value);
  }
}
