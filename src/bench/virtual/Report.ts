import * as echarts from 'echarts';

/** A named curve of points (x, y). */
export interface ICurve {
  readonly name: string;
  readonly points: readonly (readonly [number, number])[];
}

/** A line chart with linear or logarithmic axes. */
export interface IChart {
  readonly title: string;
  readonly xName: string;
  readonly yName: string;
  readonly xType: 'value' | 'log';
  readonly yType: 'value' | 'log';
  readonly curves: readonly ICurve[];
}

const WIDTH = 960;
const HEIGHT = 540;
/** The tail curve shows fractions of calls from 1 to 0.0005. */
const TAIL_POINTS = 120;
const SMALLEST_TAIL = 0.0005;

/** Renders a chart as SVG text, without a browser. */
export function drawSvg(chart: IChart): string {
  const instance = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  instance.setOption({
    animation: false,
    title: { text: chart.title, left: 'center' },
    legend: { bottom: 0 },
    grid: { left: 80, right: 40, top: 50, bottom: 80 },
    xAxis: { type: chart.xType, name: chart.xName, nameLocation: 'middle', nameGap: 28 },
    yAxis: { type: chart.yType, name: chart.yName, nameLocation: 'middle', nameGap: 50 },
    series: chart.curves.map((curve) => ({
      type: 'line',
      name: curve.name,
      showSymbol: curve.points.length <= 20,
      data: curve.points,
    })),
  });
  const svg = instance.renderToSVGString();
  instance.dispose();
  return svg;
}

/** Returns the fraction of calls slower than a latency, at logarithmically spaced fractions. */
export function tailCurve(name: string, sortedMs: Float64Array): ICurve {
  const points = Array.from({ length: TAIL_POINTS }, (_item, index): [number, number] => {
    const fraction = SMALLEST_TAIL ** (index / (TAIL_POINTS - 1));
    const position = Math.max(0, Math.ceil((1 - fraction) * sortedMs.length) - 1);
    return [sortedMs[position] ?? 0, fraction];
  });
  return { name, points };
}

/** Returns an HTML page that shows the SVG drawings in order. */
export function toHtml(title: string, drawings: readonly string[]): string {
  const head = `<head><meta charset="utf-8"><title>${title}</title></head>`;
  return `<!doctype html>\n<html>${head}<body>\n${drawings.join('\n')}\n</body></html>\n`;
}
