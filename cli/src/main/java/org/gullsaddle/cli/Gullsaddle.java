package org.gullsaddle.cli;

import java.util.concurrent.Callable;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/**
 * The tool's command line.
 */
@com.github.rvesse.airline.annotations.Cli(name = "gullsaddle",
		description = "Changes gullsaddle's templates and reads its state, traces and bills",
		defaultCommand = Help.class,
		commands = { ReadCommands.Status.class, ReadCommands.Trace.class, ReadCommands.Bill.class, LogsCommand.class,
				LossesCommand.class, Help.class },
		groups = { @Group(name = "template", description = "Check, change and read templates",
				commands = { TemplateCommands.CheckFile.class, TemplateCommands.Apply.class, TemplateCommands.Get.class,
						TemplateCommands.ListAll.class, TemplateCommands.History.class, TemplateCommands.Withdraw.class,
						TemplateCommands.Rollout.class }),
				@Group(name = "ledger", description = "Export, verify and order the ledger", commands = {
						LedgerCommands.Export.class, LedgerCommands.Verify.class, LedgerCommands.Order.class }) })
public final class Gullsaddle {

	private Gullsaddle() {
	}

	/**
	 * Runs a command.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.exit(run(args));
	}

	static int run(String... args) {
		try {
			Object code = new Cli<Callable<?>>(Gullsaddle.class).parse(args).call();
			return (code instanceof Integer number) ? number : ExitCode.DONE.code();
		}
		catch (CommandException ex) {
			System.err.println("gullsaddle: " + ex.getMessage());
			return ex.code().code();
		}
		catch (ParseException ex) {
			System.err.println("gullsaddle: " + ex.getMessage() + "; see gullsaddle help");
			return ExitCode.WRONG_USE.code();
		}
		catch (Exception ex) {
			System.err.println("gullsaddle: " + ex);
			return ExitCode.FAILED.code();
		}
	}

}
