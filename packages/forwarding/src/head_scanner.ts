/** Finds where the heads of HTTP messages end. */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/**
 * Divides bytes after each blank line that follows other lines, so that no part contains the ends
 * of two heads. It doesn't parse: parts of a body are divided as well, which does no harm.
 */
export class HeadScanner {
  private isLineBlank = true;
  private hasContent = false;

  private constructor() {}

  static create(): HeadScanner {
    return new HeadScanner();
  }

  /** Whether no byte of a next head has been passed. */
  get isAtStart(): boolean {
    return !this.hasContent;
  }

  /** Number of bytes up to the next division, or of all; they count as passed. */
  advance(bytes: Buffer): number {
    for (let index = 0; index < bytes.length; index += 1) {
      const byte = bytes[index];
      if (byte === LINE_FEED) {
        if (this.isLineBlank && this.hasContent) {
          this.hasContent = false;
          return index + 1;
        }
        this.isLineBlank = true;
      } else if (byte !== CARRIAGE_RETURN) {
        this.isLineBlank = false;
        this.hasContent = true;
      }
    }
    return bytes.length;
  }
}
