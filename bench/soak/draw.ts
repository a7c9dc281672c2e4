/** Random choices for a schedule. */

/** Returns a random number in [0, 1). */
export type Draw = () => number;

/** An integer from 0 up to, but not including, `below`. */
export function drawInteger(draw: Draw, below = 1000): number {
  return Math.floor(draw() * below);
}

/** A random item. */
export function pick<Item>(draw: Draw, items: readonly Item[]): Item {
  return items[drawInteger(draw, items.length)] as Item;
}
