package org.zinniatack.cli;

import java.util.Locale;
import java.util.concurrent.Callable;

import picocli.CommandLine;

import org.zinniatack.core.result.ResultCode;

/**
 * Prints the meaning of a result code, or the table of all result codes.
 */
@CommandLine.Command(name = "code", mixinStandardHelpOptions = true,
		description = "Explains a result code; without a number, prints the table of all codes in Markdown.")
final class CodeCommand implements Callable<Integer> {

	private static final int UNKNOWN_CODE_EXIT_STATUS = 1;

	@CommandLine.Parameters(index = "0", arity = "0..1",
			description = "the number of a result code; default: all codes")
	private Integer number;

	@Override
	public Integer call() {
		if (this.number == null) {
			System.out.print(table());
			return 0;
		}
		return ResultCode.ofNumber(this.number).map((code) -> {
			System.out.println(row(code));
			return 0;
		}).orElse(UNKNOWN_CODE_EXIT_STATUS);
	}

	static String table() {
		StringBuilder table = new StringBuilder(
				"| code | name | HTTP status | outcome | meaning |\n|---|---|---|---|---|\n");
		for (ResultCode code : ResultCode.values()) {
			table.append(row(code)).append('\n');
		}
		return table.toString();
	}

	private static String row(ResultCode code) {
		return "| " + code.number() + " | " + code.name().toLowerCase(Locale.ROOT) + " | " + code.httpStatus() + " | "
				+ code.outcome().name().toLowerCase(Locale.ROOT).replace('_', ' ') + " | " + code.description() + " |";
	}

}
