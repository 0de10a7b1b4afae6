package org.gullsaddle.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Lines of figures, written as a PNG image.
 */
final class Plot {

	private static final int WIDTH = 900;

	private static final int HEIGHT = 560;

	private final XYSeriesCollection lines = new XYSeriesCollection();

	private final JFreeChart chart;

	Plot(String title, String across, String up) {
		this.chart = ChartFactory.createXYLineChart(title, across, up, this.lines);
		this.chart.getXYPlot().setRenderer(new XYLineAndShapeRenderer());
	}

	/**
	 * Adds a point to the line of a name.
	 */
	void add(String line, double x, double y) {
		int index = this.lines.getSeriesIndex(line);
		if (index < 0) {
			this.lines.addSeries(new XYSeries(line));
			index = this.lines.getSeriesIndex(line);
		}
		this.lines.getSeries(index).add(x, y);
	}

	/**
	 * Writes the image of an experiment, and says where it is.
	 * @throws UncheckedIOException if it cannot be written
	 */
	void write(String experiment, Path path) {
		try {
			Files.createDirectories(path.toAbsolutePath().getParent());
			ChartUtils.saveChartAsPNG(path.toFile(), this.chart, WIDTH, HEIGHT);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		System.out.println(experiment + ": plot in " + path);
	}

}
