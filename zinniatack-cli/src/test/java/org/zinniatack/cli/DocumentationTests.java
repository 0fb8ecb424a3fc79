package org.zinniatack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import picocli.CommandLine;

import org.zinniatack.agent.AgentSettings;
import org.zinniatack.control.ControlSettings;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.entry.EntrySettings;
import org.zinniatack.process.Settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests that the documentation and the example settings agree with the code.
 */
class DocumentationTests {

	private static final Path REPOSITORY_ROOT = Path.of("..");

	@Test
	void theTableOfResultCodesIsThatOfTheCode() throws IOException {
		assertThat(Files.readString(REPOSITORY_ROOT.resolve("docs/RESULT-CODES.md")),
				containsString(CodeCommand.table()));
	}

	@Test
	void allExampleSettingsAreRight() throws IOException, ServiceException {
		int count = 0;
		for (String deployment : List.of("trentvale", "kanalvid")) {
			try (Stream<Path> files = Files.list(REPOSITORY_ROOT.resolve("config").resolve(deployment))) {
				for (Path file : files.toList()) {
					Settings.read(file, settingsTypeOf(file.getFileName().toString()));
					count++;
				}
			}
		}
		assertThat(count, is(30));
	}

	private static Class<?> settingsTypeOf(String name) {
		if (name.startsWith("control")) {
			return ControlSettings.class;
		}
		return name.startsWith("entry") ? EntrySettings.class : AgentSettings.class;
	}

	@Test
	void everyCommandHasHelp() {
		CommandLine commandLine = Zinniatack.commandLine();
		commandLine.getSubcommands()
			.forEach((name, command) -> assertThat(name, command.getUsageMessage().isBlank(), is(false)));
		assertThat(commandLine.execute("code", "2005"), is(0));
		assertThat(commandLine.execute("code", "1"), is(1));
		assertThat(commandLine.execute("nonsense"), is(2));
	}

}
