/** The plots as vega-lite specifications, and their rendering to SVG. */
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

/** A plot with its title and caption. */
export interface Chart {
  readonly title: string;
  /** Explains the plot to its reader. */
  readonly caption: string;
  readonly spec: TopLevelSpec;
}

const PLOT_WIDTH_PX = 880;
const PLOT_HEIGHT_PX = 190;
/** The same for all plots, so that their time axes are aligned. */
const AXIS_WIDTH_PX = 52;
const LABEL_HEIGHT_PX = 12;
const TEXT_COLOUR = '#24303f';
const MUTED_COLOUR = '#6a7686';
const GRID_COLOUR = '#e6eaef';
const FAULT_COLOUR = '#c2410c';
const ENDING_COLOURS = ['#2f6f9f', '#9cc3dd', '#e3a008', '#7c3aed', '#c81e1e'];
const KIND_COLOURS = ['#2f6f9f', '#d97706', '#0f766e', '#9333ea', '#be123c'];

const CONFIG = {
  font: 'system-ui, sans-serif',
  background: 'transparent',
  view: { stroke: null },
  axis: {
    gridColor: GRID_COLOUR,
    domainColor: MUTED_COLOUR,
    tickColor: MUTED_COLOUR,
    labelColor: MUTED_COLOUR,
    titleColor: TEXT_COLOUR,
    titleFontWeight: 'normal',
  },
  axisY: { minExtent: AXIS_WIDTH_PX, maxExtent: AXIS_WIDTH_PX },
  legend: {
    labelColor: TEXT_COLOUR,
    title: null,
    orient: 'top',
    symbolStrokeWidth: 3,
    labelLimit: 0,
  },
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

export function createOutcomeChart(
  points: readonly OutcomePoint[],
  faults: readonly FaultBand[],
  seconds: number,
): Chart {
  return {
    title: 'Requests by outcome',
    caption:
      'By the intended start of each request. Bursts are part of the load; blue is served in time.',
    spec: withFaultBands(faults, seconds, {
      data: { values: [...points] },
      mark: { type: 'bar', width: { band: 1 } },
      encoding: {
        x: createTimeAxis(seconds),
        y: { field: 'requestsPerSecond', type: 'quantitative', title: 'requests per second' },
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

export function createServiceChart(
  points: readonly ServicePoint[],
  faults: readonly FaultBand[],
  seconds: number,
): Chart {
  return {
    title: 'Service by kind',
    caption:
      'Fraction of the requests due in each half second that succeeded within their deadline.',
    spec: withFaultBands(faults, seconds, {
      data: { values: [...points] },
      mark: { type: 'line', interpolate: 'step-after' },
      encoding: {
        x: createTimeAxis(seconds),
        y: {
          field: 'served',
          type: 'quantitative',
          title: 'served',
          axis: { format: '%' },
          scale: { domain: [0, 1] },
        },
        color: createKindColour(),
      },
    }),
  };
}

export function createLatencyChart(
  points: readonly LatencyPoint[],
  faults: readonly FaultBand[],
  seconds: number,
): Chart {
  return {
    title: 'Latency over time',
    caption: 'From the intended start of a request; solid p99, dashed p50 of each half second.',
    spec: withFaultBands(faults, seconds, {
      data: { values: [...points] },
      mark: { type: 'line' },
      encoding: {
        x: createTimeAxis(seconds),
        y: createLatencyAxis(),
        color: createKindColour(),
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

export function createPercentileChart(points: readonly PercentilePoint[]): Chart {
  return {
    title: 'Latency percentiles by kind',
    caption: 'Of successful requests, over the whole measured part.',
    spec: {
      width: PLOT_WIDTH_PX,
      height: PLOT_HEIGHT_PX,
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
        y: createLatencyAxis(),
        color: createKindColour(),
      },
    },
  };
}

export function createReplicaShareChart(
  points: readonly SharePoint[],
  faults: readonly FaultBand[],
  seconds: number,
): Chart {
  return {
    title: 'Reads served by replicas',
    caption: 'Fraction of the reads due in each half second, as reported by the databases.',
    spec: withFaultBands(faults, seconds, {
      data: { values: [...points] },
      mark: {
        type: 'area',
        interpolate: 'step-after',
        color: KIND_COLOURS[0] ?? TEXT_COLOUR,
        opacity: 0.75,
      },
      encoding: {
        x: createTimeAxis(seconds),
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

export function createLevelChart(
  title: string,
  caption: string,
  points: readonly LevelPoint[],
  faults: readonly FaultBand[],
  seconds: number,
): Chart {
  return {
    title,
    caption,
    spec: withFaultBands(faults, seconds, {
      data: { values: [...points] },
      mark: { type: 'line', interpolate: 'step-after' },
      encoding: {
        x: createTimeAxis(seconds),
        y: { field: 'value', type: 'quantitative', title: title.toLowerCase() },
        color: { field: 'measure', type: 'nominal', scale: { range: KIND_COLOURS } },
      },
    }),
  };
}

type Layer = Extract<TopLevelSpec, { layer: unknown }>['layer'][number];

/** A plot over time with a band for each fault. */
function withFaultBands(faults: readonly FaultBand[], seconds: number, layer: Layer): TopLevelSpec {
  const data = { values: [...faults] };
  const x = createTimeAxis(seconds, 'from');
  const band: Layer = {
    data,
    mark: { type: 'rect', color: FAULT_COLOUR, opacity: 0.1 },
    encoding: { x, x2: { field: 'to' } },
  };
  const edge: Layer = {
    data,
    mark: { type: 'rule', color: FAULT_COLOUR, strokeWidth: 1.5 },
    encoding: { x },
  };
  const label: Layer = {
    data: { values: faults.map((fault, row) => ({ ...fault, y: (row + 1) * LABEL_HEIGHT_PX })) },
    mark: {
      type: 'text',
      align: 'left',
      baseline: 'bottom',
      dx: 2,
      fontSize: 10,
      color: FAULT_COLOUR,
    },
    encoding: {
      x,
      y: { field: 'y', type: 'quantitative', scale: null, axis: null },
      text: { field: 'name', type: 'nominal' },
    },
  };
  const resolve = { scale: { y: 'independent' } } as const;
  const layers = faults.length === 0 ? [layer] : [band, layer, edge, label];
  return { width: PLOT_WIDTH_PX, height: PLOT_HEIGHT_PX, config: CONFIG, layer: layers, resolve };
}

function createTimeAxis(seconds: number, field = 'second') {
  return {
    field,
    type: 'quantitative' as const,
    title: 'seconds',
    scale: { domain: [0, seconds], nice: false },
    axis: { grid: false },
  };
}

function createLatencyAxis() {
  return {
    field: 'latencyMs',
    type: 'quantitative' as const,
    title: 'ms',
    scale: { type: 'log' as const },
    axis: { tickCount: 5 },
  };
}

function createKindColour() {
  return { field: 'kind', type: 'nominal' as const, scale: { range: KIND_COLOURS } };
}
