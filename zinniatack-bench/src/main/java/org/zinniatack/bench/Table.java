package org.zinniatack.bench;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Table of results that is printed as Markdown.
 */
final class Table {

	private static final int PLOT_WIDTH = 800;

	private static final int PLOT_HEIGHT = 480;

	private final List<String> lines = new ArrayList<>();

	Table(String... headings) {
		row((Object[]) headings);
		this.lines.add("|" + "---|".repeat(headings.length));
	}

	void row(Object... cells) {
		StringBuilder line = new StringBuilder("|");
		for (Object cell : cells) {
			line.append(' ').append(formatCell(cell)).append(" |");
		}
		this.lines.add(line.toString());
	}

	private static String formatCell(Object cell) {
		if (cell instanceof Double number) {
			return String.format(Locale.ROOT, (Math.abs(number) >= 100) ? "%.0f" : "%.3g", number);
		}
		return String.valueOf(cell);
	}

	void print() {
		this.lines.forEach(System.out::println);
		System.out.println();
	}

	/** Writes a line chart of the series as a PNG file. */
	static void plot(Path file, String title, String xLabel, String yLabel, List<XYSeries> series) throws IOException {
		XYSeriesCollection seriesCollection = new XYSeriesCollection();
		series.forEach(seriesCollection::addSeries);
		JFreeChart chart = ChartFactory.createXYLineChart(title, xLabel, yLabel, seriesCollection,
				PlotOrientation.VERTICAL, true, false, false);
		Files.createDirectories(file.toAbsolutePath().getParent());
		ChartUtils.saveChartAsPNG(new File(file.toString()), chart, PLOT_WIDTH, PLOT_HEIGHT);
	}

}
