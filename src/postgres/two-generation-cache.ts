/**
 * A bounded cache of recently used entries in two generations. When the young generation is full, it
 * becomes the old one, and the previous old generation is dropped as a whole. A hit in the young generation
 * costs one map look-up; a hit in the old one moves the entry to the young one.
 */
export class TwoGenerationCache<Value> {
  private young = new Map<string, Value>();
  private old = new Map<string, Value>();
  private youngCharacters = 0;

  constructor(
    /** Maximum of entries in both generations together. */
    private readonly maximumEntries: number,
    /** Maximum of key characters in both generations together. */
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
    const isFull =
      this.young.size >= this.maximumEntries / 2 ||
      this.youngCharacters + key.length > this.maximumCharacters / 2;
    if (isFull) {
      this.old = this.young;
      this.young = new Map();
      this.youngCharacters = 0;
    }
    this.young.set(key, value);
    this.youngCharacters += key.length;
  }
}
