// Package operator decides on the requests of operators. It reads the questionnaire, generates a configuration from its
// answers, and accepts or refuses configuration changes and planned actions.
package operator
