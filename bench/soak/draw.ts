/** Draws of a schedule. */

/** Draws in [0, 1). */
export type Draw = () => number;

/** A whole number from 0 on, below this. */
export function whole(draw: Draw, below = 1000): number {
  return Math.floor(draw() * below);
}

/** One of these. */
export function pick<Item>(draw: Draw, items: readonly Item[]): Item {
  return items[whole(draw, items.length)] as Item;
}
