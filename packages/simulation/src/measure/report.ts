/** Renders a self-contained HTML page with tables and SVG plots. */
import { BarChart, LineChart } from 'echarts/charts';
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components';
import * as echarts from 'echarts/core';
import { SVGRenderer } from 'echarts/renderers';

echarts.use([BarChart, LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);

const PLOT_WIDTH_PX = 900;
const PLOT_HEIGHT_PX = 380;

/** A named series of values, one for each category of a bar plot; null: no value. */
export interface Series {
  readonly name: string;
  readonly values: readonly (number | null)[];
}

/** A named curve of (x, y) points. */
export interface Curve {
  readonly name: string;
  readonly points: readonly (readonly [number, number])[];
}

function renderSvg(options: echarts.EChartsCoreOption): string {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: PLOT_WIDTH_PX,
    height: PLOT_HEIGHT_PX,
  });
  chart.setOption({ animation: false, ...options });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

/** Renders a bar plot as SVG, with one colour for each series. */
export function renderBarPlot(
  title: string,
  unit: string,
  categories: readonly string[],
  series: readonly Series[],
): string {
  return renderSvg({
    title: { text: title, textStyle: { fontSize: 14 } },
    legend: { bottom: 0 },
    grid: { left: 70, right: 20, top: 50, bottom: 70 },
    xAxis: { type: 'category', data: [...categories] },
    yAxis: { type: 'value', name: unit },
    series: series.map(({ name, values }) => ({ name, type: 'bar', data: [...values] })),
  });
}

/** Renders curves over a numeric x axis as SVG. */
export function renderLinePlot(
  title: string,
  xLabel: string,
  yLabel: string,
  curves: readonly Curve[],
): string {
  return renderSvg({
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

const escapeHtml = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

/** Renders an HTML table with a header row. */
export function renderTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const renderRow = (cells: readonly string[], tag: string): string =>
    `<tr>${cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('')}</tr>`;
  return `<table>${renderRow(header, 'th')}${rows.map((cells) => renderRow(cells, 'td')).join('')}</table>`;
}

/** Renders a complete HTML page. `title` and `intro` are escaped; `sections` are inserted as HTML. */
export function renderPage(title: string, intro: string, sections: readonly string[]): string {
  const style =
    'body{font:14px sans-serif;max-width:960px;margin:2em auto}table{border-collapse:collapse;margin:1em 0}' +
    'td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}td:first-child,th:first-child{text-align:left}';
  return (
    `<!doctype html><html lang="en"><meta charset="utf-8"><title>${escapeHtml(title)}</title><style>${style}</style>` +
    `<h1>${escapeHtml(title)}</h1><p>${escapeHtml(intro)}</p>${sections.join('\n')}</html>\n`
  );
}
