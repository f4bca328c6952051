package operator

import _ "embed" // for the questionnaire

//go:embed questionnaire.yaml
var questionnaire []byte

// Questionnaire returns the commented YAML questionnaire for new teams. ParseAnswers reads the completed questionnaire.
func Questionnaire() []byte { return questionnaire }
