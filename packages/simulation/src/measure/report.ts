/** Renders a self-contained HTML page with tables and SVG plots. */
import { BarChart, LineChart } from 'echarts/charts';
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components';
import * as echarts from 'echarts/core';
import { SVGRenderer } from 'echarts/renderers';

echarts.use([BarChart, LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);

const WIDTH = 900;
const HEIGHT = 380;

/** A series of values over shared categories. */
export interface Series {
  readonly name: string;
  readonly values: readonly (number | null)[];
}

/** A named curve. */
export interface Curve {
  readonly name: string;
  readonly points: readonly (readonly [number, number])[];
}

function render(options: echarts.EChartsCoreOption): string {
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT });
  chart.setOption({ animation: false, ...options });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

/** Renders a bar plot with one colour a series. */
export function barPlot(
  title: string,
  unit: string,
  categories: readonly string[],
  series: readonly Series[],
): string {
  return render({
    title: { text: title, textStyle: { fontSize: 14 } },
    legend: { bottom: 0 },
    grid: { left: 70, right: 20, top: 50, bottom: 70 },
    xAxis: { type: 'category', data: [...categories] },
    yAxis: { type: 'value', name: unit },
    series: series.map(({ name, values }) => ({ name, type: 'bar', data: [...values] })),
  });
}

/** Renders curves over a numeric axis. */
export function linePlot(title: string, xLabel: string, yLabel: string, curves: readonly Curve[]): string {
  return render({
    title: { text: title, textStyle: { fontSize: 14 } },
    legend: { bottom: 0 },
    grid: { left: 70, right: 30, top: 50, bottom: 85 },
    xAxis: { type: 'value', name: xLabel, nameLocation: 'middle', nameGap: 28 },
    yAxis: { type: 'value', name: yLabel },
    series: curves.map(({ name, points }) => ({
      name,
      type: 'line',
      showSymbol: false,
      data: points.map((point) => [...point]),
    })),
  });
}

const escaped = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

/** Renders a table with a header. */
export function htmlTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const row = (cells: readonly string[], tag: string): string =>
    `<tr>${cells.map((cell) => `<${tag}>${escaped(cell)}</${tag}>`).join('')}</tr>`;
  return `<table>${row(header, 'th')}${rows.map((cells) => row(cells, 'td')).join('')}</table>`;
}

/** Renders the page. */
export function htmlPage(title: string, intro: string, parts: readonly string[]): string {
  const style =
    'body{font:14px sans-serif;max-width:960px;margin:2em auto}table{border-collapse:collapse;margin:1em 0}' +
    'td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}td:first-child,th:first-child{text-align:left}';
  return (
    `<!doctype html><html lang="en"><meta charset="utf-8"><title>${escaped(title)}</title><style>${style}</style>` +
    `<h1>${escaped(title)}</h1><p>${escaped(intro)}</p>${parts.join('\n')}</html>\n`
  );
}
