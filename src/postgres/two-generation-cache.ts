/**
 * A bounded cache that keeps what was used lately, in two generations: a new one is begun when the
 * young one is full, and the old one is dropped whole. A hit costs one map look-up.
 */
export class TwoGenerationCache<Value> {
  private young = new Map<string, Value>();
  private old = new Map<string, Value>();
  private youngCharacters = 0;

  constructor(
    /** Entries of both generations together. */
    private readonly maximumEntries: number,
    /** Characters of the keys of both generations together. */
    private readonly maximumCharacters: number,
  ) {}

  get size(): number {
    return this.young.size + this.old.size;
  }

  get(key: string): Value | undefined {
    const value = this.young.get(key);
    if (value !== undefined) return value;
    const older = this.old.get(key);
    if (older === undefined) return undefined;
    this.old.delete(key);
    this.set(key, older);
    return older;
  }

  set(key: string, value: Value): void {
    const full =
      this.young.size >= this.maximumEntries / 2 ||
      this.youngCharacters + key.length > this.maximumCharacters / 2;
    if (full) {
      this.old = this.young;
      this.young = new Map();
      this.youngCharacters = 0;
    }
    this.young.set(key, value);
    this.youngCharacters += key.length;
  }
}
