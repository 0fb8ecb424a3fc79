import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, with the time since the start. */
final class Recorder {

	private final long startedNs = System.nanoTime();

	private final PrintWriter writer;

	Recorder(Path file) {
		try {
			this.writer = new PrintWriter(Files.newBufferedWriter(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Returns the time since the start, in milliseconds. */
	long nowMs() {
		return (System.nanoTime() - this.startedNs) / 1_000_000;
	}

	synchronized void log(String format, Object... arguments) {
		this.writer.printf(Locale.ROOT, "%8.3f  %s%n", nowMs() / 1_000.0,
				String.format(Locale.ROOT, format, arguments));
		this.writer.flush();
	}

	/** Logs a line and prints it. */
	void say(String format, Object... arguments) {
		log(format, arguments);
		System.out.println(String.format(Locale.ROOT, format, arguments));
	}

}
