/** The plots as vega-lite specifications, rendered to SVG when the page is made. */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import {
  ENDINGS,
  type FaultBand,
  type LatencyPoint,
  type LevelPoint,
  type OutcomePoint,
  type PercentilePoint,
  type ServicePoint,
  type SharePoint,
} from './series.js';

/** A plot with what it shows. */
export interface Chart {
  readonly title: string;
  /** How to read it. */
  readonly caption: string;
  readonly spec: TopLevelSpec;
}

const WIDTH = 880;
const HEIGHT = 190;
/** The same on all plots, so that their times stand below one another. */
const AXIS_WIDTH = 52;
const LABEL_HEIGHT = 12;
const INK = '#24303f';
const MUTED = '#6a7686';
const GRID = '#e6eaef';
const FAULT = '#c2410c';
const ENDING_COLOURS = ['#2f6f9f', '#9cc3dd', '#e3a008', '#7c3aed', '#c81e1e'];
const KIND_COLOURS = ['#2f6f9f', '#d97706', '#0f766e', '#9333ea', '#be123c'];

const CONFIG = {
  font: 'system-ui, sans-serif',
  background: 'transparent',
  view: { stroke: null },
  axis: {
    gridColor: GRID,
    domainColor: MUTED,
    tickColor: MUTED,
    labelColor: MUTED,
    titleColor: INK,
    titleFontWeight: 'normal',
  },
  axisY: { minExtent: AXIS_WIDTH, maxExtent: AXIS_WIDTH },
  legend: { labelColor: INK, title: null, orient: 'top', symbolStrokeWidth: 3, labelLimit: 0 },
  line: { strokeWidth: 2 },
} as const;

/** Renders a specification without a browser. */
export async function renderSvg(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
}

export function outcomeChart(
  points: readonly OutcomePoint[],
  faults: readonly FaultBand[],
  seconds: number,
): Chart {
  return {
    title: 'Requests by outcome',
    caption:
      'By the time at which each was due. Bursts are part of the load; blue is served in time.',
    spec: overTime(faults, seconds, {
      data: { values: [...points] },
      mark: { type: 'bar', width: { band: 1 } },
      encoding: {
        x: secondAxis(seconds),
        y: { field: 'requestsPerSecond', type: 'quantitative', title: 'requests a second' },
        color: {
          field: 'ending',
          type: 'nominal',
          scale: { domain: [...ENDINGS], range: ENDING_COLOURS },
        },
        order: { field: 'ending', sort: 'descending' },
      },
    }),
  };
}

export function serviceChart(
  points: readonly ServicePoint[],
  faults: readonly FaultBand[],
  seconds: number,
): Chart {
  return {
    title: 'Service by kind',
    caption: 'Share of the requests due in each half second that were done within their deadline.',
    spec: overTime(faults, seconds, {
      data: { values: [...points] },
      mark: { type: 'line', interpolate: 'step-after' },
      encoding: {
        x: secondAxis(seconds),
        y: {
          field: 'served',
          type: 'quantitative',
          title: 'served',
          axis: { format: '%' },
          scale: { domain: [0, 1] },
        },
        color: kindColour(),
      },
    }),
  };
}

export function latencyChart(
  points: readonly LatencyPoint[],
  faults: readonly FaultBand[],
  seconds: number,
): Chart {
  return {
    title: 'Latency over time',
    caption: 'From the time at which a request was due; solid p99, dashed p50 of each half second.',
    spec: overTime(faults, seconds, {
      data: { values: [...points] },
      mark: { type: 'line' },
      encoding: {
        x: secondAxis(seconds),
        y: latencyAxis(),
        color: kindColour(),
        strokeDash: {
          field: 'percentile',
          type: 'nominal',
          scale: {
            domain: ['p99', 'p50'],
            range: [
              [1, 0],
              [4, 3],
            ],
          },
        },
      },
    }),
  };
}

export function percentileChart(points: readonly PercentilePoint[]): Chart {
  return {
    title: 'Latency percentiles by kind',
    caption: 'Of requests that were done, over the whole measured part.',
    spec: {
      width: WIDTH,
      height: HEIGHT,
      config: CONFIG,
      data: { values: [...points] },
      mark: { type: 'line', point: { filled: true, size: 40 } },
      encoding: {
        x: {
          field: 'oneIn',
          type: 'quantitative',
          scale: { type: 'log', domain: [2, 1000] },
          title: 'percentile',
          axis: {
            values: [2, 4, 10, 20, 100, 200, 1000],
            labelExpr: "'p' + format(100 - 100 / datum.value, '.3~f')",
          },
        },
        y: latencyAxis(),
        color: kindColour(),
      },
    },
  };
}

export function replicaShareChart(
  points: readonly SharePoint[],
  faults: readonly FaultBand[],
  seconds: number,
): Chart {
  return {
    title: 'Reads served by replicas',
    caption: 'Share of the reads due in each half second, as the databases themselves answered.',
    spec: overTime(faults, seconds, {
      data: { values: [...points] },
      mark: {
        type: 'area',
        interpolate: 'step-after',
        color: KIND_COLOURS[0] ?? INK,
        opacity: 0.75,
      },
      encoding: {
        x: secondAxis(seconds),
        y: {
          field: 'share',
          type: 'quantitative',
          title: 'on replicas',
          axis: { format: '%' },
          scale: { domain: [0, 1] },
        },
      },
    }),
  };
}

export function levelChart(
  title: string,
  caption: string,
  points: readonly LevelPoint[],
  faults: readonly FaultBand[],
  seconds: number,
): Chart {
  return {
    title,
    caption,
    spec: overTime(faults, seconds, {
      data: { values: [...points] },
      mark: { type: 'line', interpolate: 'step-after' },
      encoding: {
        x: secondAxis(seconds),
        y: { field: 'value', type: 'quantitative', title: title.toLowerCase() },
        color: { field: 'measure', type: 'nominal', scale: { range: KIND_COLOURS } },
      },
    }),
  };
}

type Layer = Extract<TopLevelSpec, { layer: unknown }>['layer'][number];

/** A plot over time with a band for each fault. */
function overTime(faults: readonly FaultBand[], seconds: number, layer: Layer): TopLevelSpec {
  const data = { values: [...faults] };
  const x = secondAxis(seconds, 'from');
  const band: Layer = {
    data,
    mark: { type: 'rect', color: FAULT, opacity: 0.1 },
    encoding: { x, x2: { field: 'to' } },
  };
  const edge: Layer = {
    data,
    mark: { type: 'rule', color: FAULT, strokeWidth: 1.5 },
    encoding: { x },
  };
  const label: Layer = {
    data: { values: faults.map((fault, row) => ({ ...fault, y: (row + 1) * LABEL_HEIGHT })) },
    mark: { type: 'text', align: 'left', baseline: 'bottom', dx: 2, fontSize: 10, color: FAULT },
    encoding: {
      x,
      y: { field: 'y', type: 'quantitative', scale: null, axis: null },
      text: { field: 'name', type: 'nominal' },
    },
  };
  const resolve = { scale: { y: 'independent' } } as const;
  const layers = faults.length === 0 ? [layer] : [band, layer, edge, label];
  return { width: WIDTH, height: HEIGHT, config: CONFIG, layer: layers, resolve };
}

function secondAxis(seconds: number, field = 'second') {
  return {
    field,
    type: 'quantitative' as const,
    title: 'seconds',
    scale: { domain: [0, seconds], nice: false },
    axis: { grid: false },
  };
}

function latencyAxis() {
  return {
    field: 'latencyMs',
    type: 'quantitative' as const,
    title: 'ms',
    scale: { type: 'log' as const },
    axis: { tickCount: 5 },
  };
}

function kindColour() {
  return { field: 'kind', type: 'nominal' as const, scale: { range: KIND_COLOURS } };
}
