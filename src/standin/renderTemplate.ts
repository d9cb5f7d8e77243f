/** Values of the placeholders of a settings template, by their names. */
export type TemplateValues = Readonly<Record<string, string>>;

/**
 * Renders a settings template as the platform does: `{{a.b}}` is a value, and `{{#a.b}}..{{/a.b}}` is
 * rendered if it exists, with the value for `{{.}}`. The name of a JSON value ends in `|json`. Throws
 * if a value outside of sections is missing.
 */
export function renderTemplate(template: string, values: TemplateValues): string {
  const withoutSections = template.replace(
    /\{\{#([^}]+)\}\}(.*?)\{\{\/\1\}\}/gs,
    (_all, name: string, content: string) => {
      const value = values[name];
      return value === undefined ? '' : content.replaceAll('{{.}}', value);
    },
  );
  return withoutSections.replace(/\{\{([^}]+)\}\}/g, (_all, name: string) => {
    const value = values[name];
    if (value === undefined) throw new Error(`the settings template needs a value for ${name}`);
    return value;
  });
}
