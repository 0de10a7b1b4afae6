package org.gullsaddle.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Makes answers that depend only on the version and the prompt, and that name their own
 * quality.
 */
final class Answers {

	private static final List<String> WORDS = List.of("filter", "due", "replace", "clinic", "school", "bake", "tray",
			"dough", "stock", "order", "visit", "roof", "par", "note", "fan", "belt");

	private static final Pattern QUALITY = Pattern.compile("quality ([01]\\.\\d+)");

	private static final Pattern LENGTH = Pattern.compile("(\\d+) words");

	private static final int DEFAULT_WORDS = 20;

	private Answers() {
	}

	static List<String> tokens(String version, double skill, String prompt) {
		Random random = new Random((version + prompt).hashCode());
		Matcher length = LENGTH.matcher(prompt);
		int words = length.find() ? Integer.parseInt(length.group(1)) : DEFAULT_WORDS;
		// A weak version does well on easy prompts and badly on hard ones.
		double quality = prompt.contains("hard") ? skill * skill : Math.sqrt(skill);
		List<String> tokens = new ArrayList<>();
		tokens.add(version + " quality " + String.format(Locale.ROOT, "%.3f", quality) + ":");
		for (int i = 0; i < words; i++) {
			tokens.add(" " + WORDS.get(random.nextInt(WORDS.size())));
		}
		return tokens;
	}

	static double quality(String answer) {
		Matcher matcher = QUALITY.matcher(answer);
		return matcher.find() ? Double.parseDouble(matcher.group(1)) : 0.5;
	}

}
