/** Building blocks of a self-contained HTML report. */
import { type Chart, renderSvg } from './charts.js';

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; color: #24303f; max-width: 980px; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: 0; } h2 { font-size: 1.05rem; margin: 2rem 0 0; }
p.caption { color: #6a7686; margin: 0 0 .5rem; font-size: .85rem; }
.tiles { display: flex; flex-wrap: wrap; gap: .75rem; margin: 1.25rem 0; }
.tile { border: 1px solid #e0e5eb; border-radius: 6px; padding: .5rem .9rem; min-width: 7.5rem; }
.tile b { display: block; font-size: 1.35rem; font-variant-numeric: tabular-nums; }
.tile span { color: #6a7686; font-size: .8rem; } .bad b, td.bad { color: #c81e1e; }
table { border-collapse: collapse; margin: .5rem 0; font-variant-numeric: tabular-nums; }
td, th { padding: .2rem .9rem .2rem 0; text-align: left; border-bottom: 1px solid #e6eaef; }
th { font-weight: 500; color: #6a7686; } svg { max-width: 100%; height: auto; }
`;

/** Renders a whole page; `parts` are HTML. */
export function renderHtmlPage(title: string, caption: string, parts: readonly string[]): string {
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>meadowstack ${escapeHtml(title)}</title><style>${STYLE}</style></head><body>`,
    `<h1>${escapeHtml(title)}</h1>`,
    `<p class="caption">${escapeHtml(caption)}</p>`,
    ...parts,
    '</body></html>\n',
  ].join('\n');
}

/** Renders a plot to SVG, below its title and caption. */
export async function renderPlot({ title, caption, spec }: Chart): Promise<string> {
  const svg = await renderSvg(spec);
  return `<h2>${escapeHtml(title)}</h2><p class="caption">${escapeHtml(caption)}</p>${svg}`;
}

/** Renders a row of tiles. */
export function renderTiles(renderedTiles: readonly string[]): string {
  return `<div class="tiles">${renderedTiles.join('')}</div>`;
}

/** Renders one figure; `isBad` highlights it. */
export function renderTile(label: string, value: string, isBad = false): string {
  const classes = isBad ? 'tile bad' : 'tile';
  return `<div class="${classes}"><b>${escapeHtml(value)}</b><span>${escapeHtml(label)}</span></div>`;
}

export function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const cells = (tag: string, texts: readonly string[]): string =>
    `<tr>${texts.map((text) => `<${tag}>${escapeHtml(text)}</${tag}>`).join('')}</tr>`;
  return `<table>${cells('th', head)}${rows.map((row) => cells('td', row)).join('')}</table>`;
}

export function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
